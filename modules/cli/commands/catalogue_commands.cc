#include "modules/cli/commands/catalogue_commands.h"

#include <memory>
#include <optional>
#include <utility>

#include "modules/cli/client/api_client.h"
#include "modules/cli/commands/reports.h"
#include "modules/model/model.h"
#include "modules/settings/settings.h"

namespace hemlockdoor::cli {

namespace {

constexpr std::size_t kMaxCatalogueBytes = std::size_t{8} * 1024 * 1024;
constexpr const char* kCatalogueTarget = "/v1/catalogue";
constexpr const char* kCheckTarget = "/v1/catalogue:check";

std::string EntryTarget(const std::string& name) {
  return std::string(kCatalogueTarget) + "/" + PathSegment(name);
}

std::string WithoutQuotes(std::string tag) {
  std::erase(tag, '"');
  return tag;
}

std::string Quoted(const std::string& tag) {
  return "\"" + WithoutQuotes(tag) + "\"";
}

/// Puts the file's name in front of the place of an error.
core::Error InFile(core::Error error, const std::string& file) {
  error.path = error.path.empty() ? file : file + ": " + error.path;
  return error;
}

core::Expected<nlohmann::json> ReadDocument(const std::string& file) {
  const core::Expected<std::string> text =
      settings::ReadTextFile(file, kMaxCatalogueBytes);
  if (!text) {
    return tl::unexpected<core::Error>(text.error());
  }
  return settings::ParseDocument(*text, file);
}

core::Expected<nlohmann::json> ReadCatalogue(const std::string& file) {
  core::Expected<nlohmann::json> document = ReadDocument(file);
  if (!document) {
    return document;
  }
  const core::Expected<model::Catalogue> catalogue =
      model::CatalogueFromJson(*document);
  if (!catalogue) {
    return tl::unexpected<core::Error>(InFile(catalogue.error(), file));
  }
  return model::CatalogueToJson(*catalogue);
}

core::Expected<nlohmann::json> ReadEntry(const std::string& name,
                                         const std::string& file) {
  core::Expected<nlohmann::json> document = ReadDocument(file);
  if (!document) {
    return document;
  }
  const core::Expected<model::CatalogueEntry> entry =
      model::CatalogueEntryFromJson(core::CatalogueEntryName(name), *document,
                                    "$");
  if (!entry) {
    return tl::unexpected<core::Error>(InFile(entry.error(), file));
  }
  return model::CatalogueEntryToJson(*entry);
}

/// The form in which two versions of an entry, or of the whole catalogue, are
/// compared: read and written again, so that defaults do not count.
std::optional<nlohmann::json> Normalised(const nlohmann::json& document,
                                         const std::string& name) {
  if (name.empty()) {
    const auto catalogue = model::CatalogueFromJson(document);
    return catalogue ? std::optional(model::CatalogueToJson(*catalogue))
                     : std::nullopt;
  }
  const auto entry = model::CatalogueEntryFromJson(
      core::CatalogueEntryName(name), document, "$");
  return entry ? std::optional(model::CatalogueEntryToJson(*entry))
               : std::nullopt;
}

/// One version of the catalogue, or of one entry, as an entry answered it.
struct Version {
  std::string tag;
  nlohmann::json document;
};

/// Carries out one edit: check, then write with If-Match.
class Edit {
 public:
  Edit(Console& target, ApiClient& api_client, const CatalogueCommand& command)
      : console(target), client(api_client), edit(command) {}

  /// Writes `content`; nothing deletes the entry.
  ExitCode Run(const std::optional<nlohmann::json>& content) {
    std::optional<Version> current = this->Read(kCatalogueTarget);
    if (!current) {
      return ExitCode::kFailed;
    }
    if (content && !this->Check(current->document, *content)) {
      return ExitCode::kFailed;
    }
    this->base = this->edit.if_match.empty() ? current->tag
                                             : Quoted(this->edit.if_match);
    return this->Write(content);
  }

 private:
  std::string Target() const {
    return this->edit.name.empty() ? kCatalogueTarget
                                   : EntryTarget(this->edit.name);
  }

  /// Reads a version; reports why it cannot be read.
  std::optional<Version> Read(const std::string& target) {
    ApiCall call;
    call.target = target;
    const auto asked = this->client.Call(call);
    if (!asked) {
      ReportFailure(this->console, asked.error());
      return std::nullopt;
    }
    core::Expected<nlohmann::json> document = model::ParseJson(
        asked->response.body, {.max_bytes = kMaxCatalogueBytes});
    if (!IsSuccess(asked->response) || !document) {
      ReportRefusal(this->console, asked->response);
      return std::nullopt;
    }
    return Version{asked->response.headers.Find("ETag").value_or("\"0\""),
                   std::move(*document)};
  }

  /// Lets the entry check the whole catalogue as it would be after the edit.
  bool Check(const nlohmann::json& current, const nlohmann::json& content) {
    nlohmann::json whole = content;
    if (!this->edit.name.empty()) {
      whole = current;
      whole["entries"][this->edit.name] = content;
    }
    ApiCall call;
    call.method = wire::HttpMethod::kPost;
    call.target = kCheckTarget;
    call.body = model::DumpJson(whole);
    const auto checked = this->client.Call(call);
    if (!checked) {
      ReportFailure(this->console, checked.error());
      return false;
    }
    if (!IsSuccess(checked->response)) {
      ReportRefusal(this->console, checked->response);
      return false;
    }
    return true;
  }

  ExitCode Write(const std::optional<nlohmann::json>& content) {
    ApiCall call;
    call.method = content ? wire::HttpMethod::kPut : wire::HttpMethod::kDelete;
    call.target = this->Target();
    call.body = content ? model::DumpJson(*content) : std::string();
    call.headers = {{"If-Match", this->base}};
    const auto written = this->client.Call(call);
    if (!written) {
      return written.error().in_doubt
                 ? this->Resolve(content)
                 : ReportFailure(this->console, written.error());
    }
    if (IsSuccess(written->response)) {
      return this->ReportDone(
          written->response.headers.Find("ETag").value_or(""));
    }
    // The refusal may be the consequence of our own earlier try, whose answer
    // was lost.
    if (written->earlier_try_in_doubt) {
      return this->Resolve(content);
    }
    if (written->response.status == wire::http_status::kPreconditionFailed) {
      return this->ReportConflict();
    }
    return ReportRefusal(this->console, written->response);
  }

  /// Reads back what is in force after an edit whose answer was lost.
  ExitCode Resolve(const std::optional<nlohmann::json>& content) {
    ApiCall call;
    call.target = this->Target();
    const auto asked = this->client.Call(call);
    if (!asked) {
      return ReportFailure(this->console,
                           ApiFailure{asked.error().error, /*in_doubt=*/true});
    }
    const wire::HttpResponse& response = asked->response;
    const core::Expected<nlohmann::json> document =
        model::ParseJson(response.body, {.max_bytes = kMaxCatalogueBytes});
    const bool deleted =
        !content && response.status == wire::http_status::kNotFound;
    const bool written = content && IsSuccess(response) && document &&
                         Normalised(*document, this->edit.name) == *content;
    if (deleted || written) {
      return this->ReportDone(response.headers.Find("ETag").value_or(""));
    }
    return this->ReportConflict();
  }

  ExitCode ReportDone(const std::string& tag) {
    this->console.out << "accepted";
    if (!tag.empty()) {
      this->console.out << ", revision " << PrintableText(WithoutQuotes(tag));
    }
    this->console.out << std::endl;
    return ExitCode::kDone;
  }

  ExitCode ReportConflict() {
    const std::string name = this->edit.name.empty()
                                 ? "the catalogue"
                                 : "\"" + this->edit.name + "\"";
    return ReportError(
        this->console,
        core::Error{core::ErrorCode::kConflict,
                    "conflict: the catalogue was changed after revision " +
                        WithoutQuotes(this->base) +
                        ", on which this edit is based; nothing was written. "
                        "See what changed with hemlockdoor catalogue get, "
                        "then edit " +
                        name + " again",
                    ""},
        ExitCode::kFailed);
  }

  Console& console;
  ApiClient& client;
  const CatalogueCommand& edit;
  std::string base;
};

ExitCode GetCatalogue(Console& console,
                      ApiClient& client,
                      const std::string& name) {
  ApiCall call;
  call.target = name.empty() ? kCatalogueTarget : EntryTarget(name);
  const auto asked = client.Call(call);
  if (!asked) {
    return ReportFailure(console, asked.error());
  }
  const core::Expected<nlohmann::json> document =
      model::ParseJson(asked->response.body, {.max_bytes = kMaxCatalogueBytes});
  if (!IsSuccess(asked->response) || !document) {
    return ReportRefusal(console, asked->response);
  }
  PrintJson(console, *document);
  if (const auto tag = asked->response.headers.Find("ETag")) {
    console.err << "revision " << PrintableText(WithoutQuotes(*tag))
                << std::endl;
  }
  return ExitCode::kDone;
}

ExitCode CheckAtEntry(Console& console,
                      ApiClient& client,
                      const nlohmann::json& catalogue) {
  ApiCall call;
  call.method = wire::HttpMethod::kPost;
  call.target = kCheckTarget;
  call.body = model::DumpJson(catalogue);
  const auto checked = client.Call(call);
  if (!checked) {
    return ReportFailure(console, checked.error());
  }
  if (!IsSuccess(checked->response)) {
    return ReportRefusal(console, checked->response);
  }
  console.out << "the entry would accept this catalogue" << std::endl;
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunCatalogue(Console& console, const CatalogueCommand& command) {
  core::Expected<nlohmann::json> content = nlohmann::json();
  if (!command.file.empty()) {
    content = command.name.empty() ? ReadCatalogue(command.file)
                                   : ReadEntry(command.name, command.file);
  }
  if (!content) {
    return ReportError(console, content.error(), ExitCode::kUsage);
  }
  const auto client = ApiClient::Create(command.client);
  if (!client) {
    return ReportError(console, client.error(), ExitCode::kUsage);
  }
  switch (command.action) {
    case CatalogueAction::kGet:
      return GetCatalogue(console, **client, command.name);
    case CatalogueAction::kCheck:
      return CheckAtEntry(console, **client, *content);
    case CatalogueAction::kDelete:
      return Edit(console, **client, command).Run(std::nullopt);
    case CatalogueAction::kPut:
    case CatalogueAction::kEdit:
      break;
  }
  return Edit(console, **client, command).Run(*content);
}

ExitCode RunDrain(Console& console, const DrainCommand& command) {
  const auto client = ApiClient::Create(command.client);
  if (!client) {
    return ReportError(console, client.error(), ExitCode::kUsage);
  }
  if (!command.worker && command.client.entries.size() > 1) {
    return ReportError(
        console,
        core::Error{core::ErrorCode::kInvalidArgument,
                    "drain entry drains the one entry that is called; name "
                    "exactly one",
                    "--entry"},
        ExitCode::kUsage);
  }
  ApiCall call;
  call.method = wire::HttpMethod::kPost;
  call.target = command.worker
                    ? "/v1/workers/" + PathSegment(*command.worker) + "/drain"
                    : "/v1/drain";
  call.body = "{}";
  const auto asked =
      command.worker ? (*client)->Call(call) : (*client)->CallOnce(call);
  if (!asked) {
    return ReportFailure(console, asked.error());
  }
  if (!IsSuccess(asked->response)) {
    return ReportRefusal(console, asked->response);
  }
  console.out << (command.worker ? "worker " + PrintableText(*command.worker) +
                                       " is draining"
                                 : std::string("the entry is draining"))
              << std::endl;
  return ExitCode::kDone;
}

}  // namespace hemlockdoor::cli
