#include "modules/entry/testing/core_harness_test.h"

#include <QCryptographicHash>

namespace hemlockdoor::entry::testing {

namespace {

std::string TaskKeyOf(const core::JobId& job,
                      core::AttemptNumber attempt,
                      int member) {
  return job.Text() + "/" + std::to_string(attempt.Number()) + "/" +
         std::to_string(member);
}

bool Matches(const FakeTask& task, const model::AttemptReference& reference) {
  return task.request.job.id == reference.job &&
         task.request.attempt == reference.attempt;
}

wire::HttpResponse JsonResponse(int status, const nlohmann::json& doc) {
  wire::HttpResponse response;
  response.status = status;
  response.body = model::DumpJson(doc);
  return response;
}

}  // namespace

std::string CoreHarness::HashOf(const std::string& token) {
  return QCryptographicHash::hash(QByteArray::fromStdString(token),
                                  QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

model::Announcement CoreHarness::MakeAnnouncement(const FakeAgent& agent) {
  model::Announcement announcement;
  announcement.agent = agent.id;
  announcement.incarnation = agent.incarnation;
  announcement.endpoint = agent.endpoint;
  announcement.shape = agent.shape;
  announcement.draining = agent.draining;
  announcement.epoch = agent.epoch;
  announcement.free_slots = agent.shape.slots;
  for (const auto& [key, task] : agent.tasks) {
    if (task.started && !task.ended) {
      model::RunningTask running;
      running.job = task.request.job.id;
      running.attempt = task.request.attempt;
      running.member = task.request.member;
      running.organisation = task.request.job.organisation;
      running.accelerators =
          task.request.members.at(task.request.member).accelerators;
      announcement.running.push_back(running);
    }
  }
  for (const model::ResultNotice& notice : agent.held_results) {
    announcement.held_results.push_back(notice.job);
  }
  return announcement;
}

model::GrantReply CoreHarness::GrantStart(
    FakeAgent& agent,
    const model::ReservationRequest& request,
    bool run) {
  model::GrantReply reply;
  reply.incarnation = agent.incarnation;
  agent.epoch = std::max(agent.epoch, request.epoch);
  reply.epoch = agent.epoch;
  const std::string key =
      TaskKeyOf(request.job.id, request.attempt, request.member);
  if (agent.tasks.contains(key)) {
    reply.granted = true;
    reply.may_have_started = agent.tasks.at(key).started;
    return reply;
  }
  if (request.incarnation != agent.incarnation) {
    reply.refusal = model::RefusalReason::kWrongIncarnation;
  } else if (request.epoch < agent.epoch) {
    reply.refusal = model::RefusalReason::kStaleEpoch;
  } else if (agent.cancelled_attempts.contains(
                 request.job.id.Text() + "/" +
                 std::to_string(request.attempt.Number()))) {
    reply.refusal = model::RefusalReason::kCancelled;
  } else if (agent.refusals > 0) {
    --agent.refusals;
    reply.refusal = agent.refusal_reason;
  } else {
    agent.tasks[key] = {request, run, false};
    agent.starts += run ? 1 : 0;
    reply.granted = true;
    reply.may_have_started = run;
  }
  return reply;
}

model::GrantReply CoreHarness::ApplyReference(
    FakeAgent& agent,
    const std::string& target,
    const model::AttemptReference& reference) {
  model::GrantReply reply;
  reply.incarnation = agent.incarnation;
  reply.granted = true;
  if (reference.incarnation != agent.incarnation) {
    reply.granted = false;
    reply.refusal = model::RefusalReason::kWrongIncarnation;
    reply.may_have_started = true;
    return reply;
  }
  if (target == "/internal/v1/commit") {
    // A real lead tells the other members to start. Here the harness starts the
    // tasks of all fake agents.
    reply.may_have_started = true;
    for (auto& [endpoint, member] : this->agents) {
      for (auto& [key, task] : member.tasks) {
        if (Matches(task, reference) && !task.started) {
          task.started = true;
          ++member.starts;
        }
      }
    }
    return reply;
  }
  for (const auto& [key, task] : agent.tasks) {
    const bool started = Matches(task, reference) && task.started;
    reply.may_have_started = reply.may_have_started || started;
  }
  if (target == "/internal/v1/ack") {
    ++agent.acks;
    std::erase_if(agent.held_results, [&reference](const auto& notice) {
      return notice.job == reference.job;
    });
    return reply;
  }
  agent.cancelled_attempts.insert(reference.job.Text() + "/" +
                                  std::to_string(reference.attempt.Number()));
  if (target == "/internal/v1/cancel") {
    ++agent.cancels;
  }
  std::erase_if(agent.tasks, [&reference](const auto& each) {
    return Matches(each.second, reference) && !each.second.started;
  });
  return reply;
}

wire::HttpResponse CoreHarness::HandleCall(FakeAgent& agent,
                                           wire::HttpMethod method,
                                           const std::string& target,
                                           const std::string& body) {
  constexpr std::string_view kTasks = "/internal/v1/tasks/";
  if (method == wire::HttpMethod::kGet && target.starts_with(kTasks)) {
    model::TaskStatus status;
    status.incarnation = agent.incarnation;
    const core::JobId job(target.substr(kTasks.size()));
    for (const model::RunningTask& task : MakeAnnouncement(agent).running) {
      if (task.job == job) {
        status.running.push_back(task);
      }
    }
    for (const model::ResultNotice& notice : agent.held_results) {
      if (notice.job == job) {
        status.results.push_back(notice);
      }
    }
    const bool known = !status.running.empty() || !status.results.empty();
    return JsonResponse(known ? 200 : 404, model::ToJson(status));
  }
  const bool run = target == "/internal/v1/run";
  if (run || target == "/internal/v1/reserve") {
    const auto request =
        model::FromText<&model::ReservationRequestFromJson>(body);
    BOOST_REQUIRE(request.has_value());
    const model::GrantReply reply = this->GrantStart(agent, *request, run);
    return JsonResponse(reply.granted ? 202 : 409, model::ToJson(reply));
  }
  if (target == "/internal/v1/gang/ask") {
    const auto question = model::FromText<&model::GangMessageFromJson>(body);
    BOOST_REQUIRE(question.has_value());
    model::GangReply reply;
    reply.incarnation = agent.incarnation;
    for (const auto& [key, task] : agent.tasks) {
      if (task.request.job.id == question->job &&
          task.request.attempt == question->attempt) {
        reply.state = model::GangState::kReserved;
        if (task.started) {
          reply.state =
              task.ended ? model::GangState::kDone : model::GangState::kRunning;
        }
      }
    }
    return JsonResponse(200, model::ToJson(reply));
  }
  if (target == "/internal/v1/drain" || target == "/internal/v1/preempt") {
    return JsonResponse(200, nlohmann::json::object());
  }
  const auto reference =
      model::FromText<&model::AttemptReferenceFromJson>(body);
  BOOST_REQUIRE(reference.has_value());
  return JsonResponse(
      200, model::ToJson(this->ApplyReference(agent, target, *reference)));
}

}  // namespace hemlockdoor::entry::testing
