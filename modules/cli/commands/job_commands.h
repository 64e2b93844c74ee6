// Commands about jobs: submit, status, cancel.
#pragma once

#include "modules/cli/output/console.h"
#include "modules/cli/program/commands.h"

namespace hemlockdoor::cli {

/// Submits a job and, with a wait, stays until it ends. Prints the result (or
/// the job's id, when it has not ended) to standard output; all else goes to
/// standard error. A request whose answer is lost is repeated with the same
/// Idempotency-Key.
ExitCode RunSubmit(Console& console, const SubmitCommand& command);

/// Shows one job, all jobs of the organisation or, with an operator's token,
/// all workers.
ExitCode RunStatus(Console& console, const StatusCommand& command);

/// Cancels a job. A job that ended otherwise before is reported as such, with
/// exit code 1.
ExitCode RunCancel(Console& console, const CancelCommand& command);

}  // namespace hemlockdoor::cli
