#include "modules/entry/core/job_record.h"

#include <utility>

namespace hemlockdoor::entry {

namespace {

constexpr std::size_t kMaxErrorBytes = 64U * 1024U;

nlohmann::json MemberToJson(const AttemptMember& member) {
  nlohmann::json doc;
  doc["agent"] = member.place.agent.Text();
  doc["incarnation"] = std::to_string(member.place.incarnation.Number());
  doc["endpoint"] = member.place.endpoint;
  doc["accelerators"] = std::to_string(member.place.accelerators.Mask());
  doc["start_not_after_ms"] = member.start_not_after.InMilliseconds();
  return doc;
}

core::Expected<AttemptMember> MemberFromJson(const nlohmann::json& doc,
                                             const std::string& path) {
  model::JsonReader reader(doc, path);
  AttemptMember member;
  member.place.agent = core::AgentId(reader.RequiredString("agent"));
  member.place.incarnation =
      core::Incarnation(reader.RequiredCounter("incarnation"));
  member.place.endpoint = reader.RequiredString("endpoint");
  member.place.accelerators =
      model::AcceleratorSet(reader.RequiredCounter("accelerators"));
  member.start_not_after = core::TimePoint::FromMilliseconds(
      reader.OptionalInteger("start_not_after_ms", 0));
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return member;
}

void ReadMembers(model::JsonReader& reader, JobRecord& record) {
  reader.EachElement(
      "members",
      [&record](const nlohmann::json& element,
                const std::string& path) -> core::Expected<void> {
        core::Expected<AttemptMember> member = MemberFromJson(element, path);
        if (!member) {
          return tl::unexpected<core::Error>(member.error());
        }
        record.members.push_back(std::move(*member));
        return {};
      });
}

void ReadEnd(model::JsonReader& reader, JobRecord& record) {
  const std::string outcome = reader.OptionalString("outcome");
  record.outcome = model::JobOutcomeFromName(outcome);
  if (!outcome.empty() && !record.outcome) {
    reader.Fail("outcome", "unknown outcome \"" + outcome + "\"");
  }
  record.error = reader.OptionalString("error", {}, kMaxErrorBytes);
  record.result = reader.OptionalString("result", {}, kMaxStoredResultBytes);
  record.result_endpoint = reader.OptionalString("result_endpoint");
}

}  // namespace

std::string OpenKey(const core::JobId& job) {
  return kOpenPrefix + job.Text();
}

std::string PayloadKey(const core::JobId& job) {
  return "payload/" + job.Text();
}

std::string EndedKey(const core::JobId& job) {
  return "ended/" + job.Text();
}

std::string JobRecordToText(const JobRecord& record) {
  nlohmann::json doc;
  doc["job"] = model::JobDescriptionToJson(record.description);
  doc["body_hash"] = record.body_hash;
  doc["write_id"] = record.write_id;
  doc["holder"] = record.holder;
  doc["payload_stored"] = record.payload_stored;
  doc["submitted_wall_ms"] = record.submitted_wall_ms;
  doc["cancel_requested"] = record.cancel_requested;
  doc["attempt"] = std::to_string(record.attempt.Number());
  doc["may_have_run"] = record.may_have_run;
  doc["members"] = nlohmann::json::array();
  for (const AttemptMember& member : record.members) {
    doc["members"].push_back(MemberToJson(member));
  }
  if (record.outcome) {
    doc["outcome"] = model::JobOutcomeName(*record.outcome);
    doc["error"] = record.error.substr(0, kMaxErrorBytes);
    doc["result"] = record.result;
    doc["result_endpoint"] = record.result_endpoint;
  }
  return model::DumpJson(doc);
}

core::Expected<JobRecord> JobRecordFromText(const std::string& text) {
  const core::Expected<nlohmann::json> doc = model::ParseJson(text);
  if (!doc) {
    return tl::unexpected<core::Error>(doc.error());
  }
  model::JsonReader reader(*doc, "$");
  JobRecord record;
  if (const nlohmann::json* job = reader.Raw("job")) {
    core::Expected<model::JobDescription> read =
        model::JobDescriptionFromJson(*job, "$.job");
    if (!read) {
      return tl::unexpected<core::Error>(read.error());
    }
    record.description = std::move(*read);
  } else {
    reader.Fail("job", "required field is missing");
  }
  record.body_hash = reader.RequiredString("body_hash");
  record.write_id = reader.RequiredString("write_id");
  record.holder = reader.OptionalString("holder");
  record.payload_stored = reader.OptionalBool("payload_stored", false);
  record.submitted_wall_ms = reader.OptionalInteger("submitted_wall_ms", 0);
  record.cancel_requested = reader.OptionalBool("cancel_requested", false);
  record.attempt = core::AttemptNumber(reader.RequiredCounter("attempt"));
  record.may_have_run = reader.OptionalBool("may_have_run", false);
  ReadMembers(reader, record);
  ReadEnd(reader, record);
  if (core::Expected<void> finished = reader.FinishLenient(); !finished) {
    return tl::unexpected<core::Error>(finished.error());
  }
  return record;
}

store::Transaction MakeCreateTransaction(const JobRecord& record,
                                         const std::string* payload) {
  const core::JobId& id = record.description.id;
  store::Transaction transaction;
  transaction.compares = {{OpenKey(id), store::ModRevision(0)},
                          {EndedKey(id), store::ModRevision(0)}};
  transaction.writes.push_back(
      {OpenKey(id), JobRecordToText(record), std::nullopt});
  if (payload != nullptr) {
    transaction.writes.push_back({PayloadKey(id), *payload, std::nullopt});
  }
  return transaction;
}

store::Transaction MakeUpdateTransaction(const JobRecord& record,
                                         store::ModRevision expected) {
  store::Transaction transaction;
  const std::string key = OpenKey(record.description.id);
  transaction.compares = {{key, expected}};
  transaction.writes = {{key, JobRecordToText(record), std::nullopt}};
  return transaction;
}

store::Transaction MakeEndTransaction(const JobRecord& record,
                                      store::ModRevision expected,
                                      std::optional<store::LeaseId> retention) {
  const core::JobId& id = record.description.id;
  store::Transaction transaction;
  transaction.compares = {{OpenKey(id), expected}};
  // The ended record comes first, because the store adapter reads back the
  // first written key after a lost answer.
  transaction.writes.push_back(
      {EndedKey(id), JobRecordToText(record), retention});
  transaction.writes.push_back({OpenKey(id), std::nullopt, std::nullopt});
  if (record.payload_stored) {
    transaction.writes.push_back({PayloadKey(id), std::nullopt, std::nullopt});
  }
  return transaction;
}

}  // namespace hemlockdoor::entry
