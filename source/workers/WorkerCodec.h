#pragma once

#include "base/JsonReader.h"
#include "workers/WorkerMessages.h"

namespace Wagtail
{

// The JSON forms of the worker protocol that docs/PLATFORM.md states.
[[nodiscard]] Json describe(const Resources &resources);
[[nodiscard]] Resources parseResources(const Json &document);
[[nodiscard]] Json describe(const WorkerDescription &worker);
[[nodiscard]] WorkerDescription parseWorkerDescription(const Json &document);
[[nodiscard]] Json describe(const TaskAttempt &attempt);
[[nodiscard]] TaskAttempt parseTaskAttempt(const Json &document);
[[nodiscard]] Json describe(const Heartbeat &heartbeat);
[[nodiscard]] Heartbeat parseHeartbeat(const Json &document);
[[nodiscard]] Json describe(const TaskStart &start);
[[nodiscard]] TaskStart parseTaskStart(const Json &document);
[[nodiscard]] Json describe(const WorkerReport &report);
[[nodiscard]] WorkerReport parseWorkerReport(const Json &document);

}
