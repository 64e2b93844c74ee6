// Umbrella header of the batch module: data model, planner, worker supervision
// in the agent, and the services of the entry and agent processes.
#pragma once

#include "modules/batch/agent/worker_supervisor.h"
#include "modules/batch/model/configuration.h"
#include "modules/batch/model/evacuation_state.h"
#include "modules/batch/model/ids.h"
#include "modules/batch/model/job_spec.h"
#include "modules/batch/model/messages.h"
#include "modules/batch/planner/admission.h"
#include "modules/batch/planner/fleet.h"
#include "modules/batch/planner/job_state.h"
#include "modules/batch/planner/placement.h"
#include "modules/batch/planner/planner.h"
#include "modules/batch/planner/room_summary.h"
#include "modules/batch/process/agent_service.h"
#include "modules/batch/process/configuration_status.h"
#include "modules/batch/process/configuration_watch.h"
#include "modules/batch/process/entry_service.h"
#include "modules/batch/process/evacuation_watch.h"
#include "modules/batch/process/hosted_settings.h"
#include "modules/batch/process/planner_service.h"
