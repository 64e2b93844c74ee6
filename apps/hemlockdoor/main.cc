#include "modules/cli/cli.h"

int main(int argument_count, char** arguments) {
  return hemlockdoor::cli::Run(argument_count, arguments);
}
