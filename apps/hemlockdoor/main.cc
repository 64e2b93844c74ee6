#include "modules/cli/cli.h"
#include "platform/hosted_roles.h"

int main(int argument_count, char** arguments) {
  hemlockdoor::cli::HostedRoles hosted;
  hosted.entry = hemlockdoor::platform::RunHostedEntry;
  hosted.agent = hemlockdoor::platform::RunHostedAgent;
  return hemlockdoor::cli::Run(argument_count, arguments, hosted);
}
