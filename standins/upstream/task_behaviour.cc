#include "standins/upstream/task_behaviour.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace hemlockdoor::standin {

TaskBehaviour TaskBehaviour::FromPayload(const std::string& payload) {
  TaskBehaviour behaviour;
  behaviour.result = payload;
  const nlohmann::json doc =
      nlohmann::json::parse(payload, nullptr, /*allow_exceptions=*/false);
  if (!doc.is_object()) {
    return behaviour;
  }
  const auto text = [&doc](const char* name, std::string fallback) {
    const auto found = doc.find(name);
    return found != doc.end() && found->is_string() ? found->get<std::string>()
                                                    : std::move(fallback);
  };
  const auto number = [&doc](const char* name, int fallback) {
    const auto found = doc.find(name);
    return found != doc.end() && found->is_number_integer() ? found->get<int>()
                                                            : fallback;
  };
  const auto truth = [&doc](const char* name) {
    const auto found = doc.find(name);
    return found != doc.end() && found->is_boolean() && found->get<bool>();
  };
  behaviour.run_ms = number("run_ms", behaviour.run_ms);
  behaviour.result = text("result", payload);
  const int result_bytes = number("result_bytes", 0);
  if (result_bytes > 0) {
    behaviour.result = std::string(static_cast<std::size_t>(result_bytes), 'r');
  }
  behaviour.fail = text("fail", {});
  behaviour.ignore_checkpoint = truth("ignore_checkpoint");
  behaviour.ignore_stop = truth("ignore_stop");
  return behaviour;
}

}  // namespace hemlockdoor::standin
