#pragma once

#include "base/JsonReader.h"
#include "workers/WorkerMessages.h"

namespace Wagtail
{

// Conversions between the messages of the worker protocol and the JSON that docs/PLATFORM.md specifies. The parse
// functions use default values for members that are missing or of another type.
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
