#include "modules/store/etcd/etcd_codec.h"

#include <QByteArray>
#include <charconv>
#include <utility>

#include "modules/model/json/json_reader.h"

namespace hemlockdoor::store::etcd {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

std::string ToBase64(const std::string& text) {
  return QByteArray::fromRawData(text.data(),
                                 static_cast<qsizetype>(text.size()))
      .toBase64()
      .toStdString();
}

core::Error Malformed(const std::string& field) {
  return core::Error{
      core::ErrorCode::kInvalidArgument,
      "answer of the store: field \"" + field + "\" is missing or malformed",
      ""};
}

/// Reads the fields of one JSON object of a message and keeps the first error.
class MessageReader {
 public:
  explicit MessageReader(const nlohmann::json& message) : node(message) {
    if (!message.is_object()) {
      this->Fail("message");
    }
  }

  /// Returns a field, or null when the field is omitted.
  const nlohmann::json* Child(const char* name) {
    if (!this->node.is_object()) {
      return nullptr;
    }
    const auto found = this->node.find(name);
    return found == this->node.end() ? nullptr : &*found;
  }

  /// Returns a 64-bit number, which the protocol sends as a string; zero when
  /// the field is omitted.
  std::uint64_t Number(const char* name) {
    const nlohmann::json* field = this->Child(name);
    if (field == nullptr) {
      return 0;
    }
    if (field->is_number_unsigned()) {
      return field->get<std::uint64_t>();
    }
    const std::string text =
        field->is_string() ? field->get<std::string>() : std::string();
    std::uint64_t number = 0;
    const char* last = text.data() + text.size();
    const auto [end, failure] = std::from_chars(text.data(), last, number);
    if (failure != std::errc() || end != last) {
      this->Fail(name);
    }
    return number;
  }

  /// Returns the decoded bytes of a base64 field; empty when the field is
  /// omitted.
  std::string Bytes(const char* name) {
    const nlohmann::json* field = this->Child(name);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_string()) {
      this->Fail(name);
      return {};
    }
    const auto decoded = QByteArray::fromBase64Encoding(
        QByteArray::fromStdString(field->get_ref<const std::string&>()),
        QByteArray::AbortOnBase64DecodingErrors);
    if (!decoded) {
      this->Fail(name);
      return {};
    }
    return (*decoded).toStdString();
  }

  bool Flag(const char* name) {
    const nlohmann::json* field = this->Child(name);
    if (field != nullptr && !field->is_boolean()) {
      this->Fail(name);
      return false;
    }
    return field != nullptr && field->get<bool>();
  }

  void Fail(const std::string& field) {
    if (!this->error) {
      this->error = Malformed(field);
    }
  }

  /// Returns the store version in the header, which every message has.
  ModRevision HeaderRevision() {
    const nlohmann::json* header = this->Child("header");
    if (header == nullptr || !header->is_object()) {
      this->Fail("header");
      return {};
    }
    MessageReader reader(*header);
    const ModRevision revision(reader.Number("revision"));
    if (revision == ModRevision() || reader.error) {
      this->Fail("header.revision");
    }
    return revision;
  }

  KeyValue ReadKeyValue() {
    KeyValue item;
    item.key = this->Bytes("key");
    item.value = this->Bytes("value");
    item.mod_revision = ModRevision(this->Number("mod_revision"));
    if (item.key.empty() || item.mod_revision == ModRevision()) {
      this->Fail("kv");
    }
    return item;
  }

  template <typename T>
  core::Expected<T> Finish(T value) const {
    if (this->error) {
      return tl::unexpected<core::Error>(*this->error);
    }
    return value;
  }

  const std::optional<core::Error>& Error() const { return this->error; }

 private:
  const nlohmann::json& node;
  std::optional<core::Error> error;
};

/// Returns the smallest key that is greater than all keys with the prefix, or
/// one NUL byte, which stands for the end of the key space, when there is none.
std::string PrefixEnd(std::string prefix) {
  constexpr unsigned char kHighestByte = 0xff;
  while (!prefix.empty() &&
         static_cast<unsigned char>(prefix.back()) == kHighestByte) {
    prefix.pop_back();
  }
  if (prefix.empty()) {
    return std::string(1, '\0');
  }
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

nlohmann::json EncodeWrite(const Write& write) {
  nlohmann::json operation;
  if (!write.value) {
    operation["request_delete_range"]["key"] = ToBase64(write.key);
    return operation;
  }
  nlohmann::json& put = operation["request_put"];
  put["key"] = ToBase64(write.key);
  put["value"] = ToBase64(*write.value);
  if (write.lease) {
    put["lease"] = std::to_string(write.lease->Number());
  }
  return operation;
}

WatchEvent ReadEvent(const nlohmann::json& element, MessageReader& parent) {
  MessageReader reader(element);
  const nlohmann::json* kv = reader.Child("kv");
  if (kv == nullptr) {
    parent.Fail("events.kv");
    return {};
  }
  MessageReader kv_reader(*kv);
  KeyValue item = kv_reader.ReadKeyValue();
  if (kv_reader.Error()) {
    parent.Fail("events.kv");
    return {};
  }
  const nlohmann::json* type = reader.Child("type");
  WatchEvent event{item.key, std::nullopt, item.mod_revision};
  if (type == nullptr || *type == "PUT") {
    event.value = std::move(item.value);
  } else if (*type != "DELETE") {
    parent.Fail("events.type");
  }
  return event;
}

}  // namespace

std::string EncodeGet(const std::string& key) {
  nlohmann::json body;
  body["key"] = ToBase64(key);
  return model::DumpJson(body);
}

std::string EncodeList(const std::string& prefix) {
  nlohmann::json body;
  body["key"] = ToBase64(prefix.empty() ? std::string(1, '\0') : prefix);
  body["range_end"] = ToBase64(PrefixEnd(prefix));
  return model::DumpJson(body);
}

std::string EncodeTransaction(const Transaction& transaction) {
  nlohmann::json body;
  body["compare"] = nlohmann::json::array();
  for (const Compare& compare : transaction.compares) {
    nlohmann::json condition;
    condition["key"] = ToBase64(compare.key);
    condition["target"] = "MOD";
    condition["result"] = "EQUAL";
    condition["mod_revision"] = std::to_string(compare.mod_revision.Number());
    body["compare"].push_back(std::move(condition));
  }
  body["success"] = nlohmann::json::array();
  for (const Write& write : transaction.writes) {
    body["success"].push_back(EncodeWrite(write));
  }
  return model::DumpJson(body);
}

std::string EncodeLeaseGrant(core::Duration ttl) {
  nlohmann::json body;
  body["TTL"] =
      std::to_string((ttl.InMilliseconds() + kMillisecondsPerSecond - 1) /
                     kMillisecondsPerSecond);
  return model::DumpJson(body);
}

std::string EncodeKeepAlive(LeaseId lease) {
  nlohmann::json body;
  body["ID"] = std::to_string(lease.Number());
  return model::DumpJson(body);
}

std::string EncodeWatch(const std::string& prefix, ModRevision from) {
  nlohmann::json body;
  nlohmann::json& request = body["create_request"];
  request["key"] = ToBase64(prefix.empty() ? std::string(1, '\0') : prefix);
  request["range_end"] = ToBase64(PrefixEnd(prefix));
  request["start_revision"] = std::to_string(from.Number());
  return model::DumpJson(body);
}

core::Expected<Listing> DecodeRange(const nlohmann::json& answer) {
  MessageReader reader(answer);
  Listing listing;
  listing.revision = reader.HeaderRevision();
  const nlohmann::json* items = reader.Child("kvs");
  if (items != nullptr && !items->is_array()) {
    reader.Fail("kvs");
  } else if (items != nullptr) {
    for (const nlohmann::json& element : *items) {
      MessageReader item_reader(element);
      listing.items.push_back(item_reader.ReadKeyValue());
      if (item_reader.Error()) {
        reader.Fail("kvs");
      }
    }
  }
  return reader.Finish(std::move(listing));
}

core::Expected<TransactionResult> DecodeTransaction(
    const nlohmann::json& answer) {
  MessageReader reader(answer);
  TransactionResult result;
  result.revision = reader.HeaderRevision();
  result.succeeded = reader.Flag("succeeded");
  return reader.Finish(result);
}

core::Expected<LeaseId> DecodeLeaseGrant(const nlohmann::json& answer) {
  MessageReader reader(answer);
  const LeaseId lease(reader.Number("ID"));
  if (lease == LeaseId()) {
    reader.Fail("ID");
  }
  return reader.Finish(lease);
}

core::Expected<core::Duration> DecodeKeepAlive(const nlohmann::json& answer) {
  MessageReader reader(answer);
  const nlohmann::json* result = reader.Child("result");
  if (result == nullptr) {
    return tl::unexpected<core::Error>(Malformed("result"));
  }
  MessageReader result_reader(*result);
  if (result_reader.Number("ID") == 0) {
    result_reader.Fail("result.ID");
  }
  // For an expired lease the store answers with a TTL of zero, and the gateway
  // omits the field.
  const std::uint64_t ttl_seconds = result_reader.Number("TTL");
  constexpr std::uint64_t kMaxTtlSeconds = 9'000'000'000;
  if (ttl_seconds > kMaxTtlSeconds) {
    result_reader.Fail("result.TTL");
  }
  return result_reader.Finish(
      core::Duration::Seconds(static_cast<std::int64_t>(ttl_seconds)));
}

core::Expected<WatchMessage> DecodeWatch(const nlohmann::json& message) {
  MessageReader outer(message);
  const nlohmann::json* result = outer.Child("result");
  if (result == nullptr) {
    return tl::unexpected<core::Error>(Malformed("result"));
  }
  MessageReader reader(*result);
  WatchMessage decoded;
  decoded.store_revision = reader.HeaderRevision();
  decoded.created = reader.Flag("created");
  decoded.cancelled = reader.Flag("canceled");
  decoded.compacted_revision = ModRevision(reader.Number("compact_revision"));
  const nlohmann::json* events = reader.Child("events");
  if (events != nullptr && !events->is_array()) {
    reader.Fail("events");
  } else if (events != nullptr) {
    for (const nlohmann::json& element : *events) {
      decoded.events.push_back(ReadEvent(element, reader));
    }
  }
  return reader.Finish(std::move(decoded));
}

std::string DecodeErrorMessage(std::string_view body) {
  constexpr std::size_t kMaxShown = 200;
  const core::Expected<nlohmann::json> document = model::ParseJson(body);
  if (document && document->is_object()) {
    const auto found = document->find("message");
    if (found != document->end() && found->is_string()) {
      return found->get<std::string>().substr(0, kMaxShown);
    }
  }
  return std::string(body.substr(0, kMaxShown));
}

}  // namespace hemlockdoor::store::etcd
