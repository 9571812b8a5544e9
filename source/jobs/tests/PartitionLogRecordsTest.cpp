#include "jobs/PartitionLogRecords.h"
#include "workers/WorkerCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

rc::Gen<Json> documents()
{
    return rc::gen::map(rc::gen::arbitrary<std::map<std::string, std::pair<int, std::string>>>(),
        [](const std::map<std::string, std::pair<int, std::string>> &members) {
            static const std::vector<std::string> kinds {"accepted", "assigned", "released", "finished", "cancel",
                "move", "move-end", "claimed", "settled", "taken-over", "nonsense"};
            Json document = Json::object();
            for (const auto &[name, value] : members) {
                document[name] = value.first % 2 == 0 ? Json(value.first) : Json(value.second);
                document["kind"] = kinds[static_cast<std::size_t>(std::abs(value.first % 11))];
                document["attempt"] = value.first;
                document["tasks"] = value.second;
            }
            return document;
        });
}

}

// Parsing a document of any shape returns a record or an error with a remedy.
RC_GTEST_PROP(PartitionLogRecords, parsesAnyDocumentToARecordOrAnError, ())
{
    const Json document = *documents();
    const Result<PartitionLogRecord> record = parsePartitionLogRecord(document);
    RC_ASSERT((errorOf(record) == nullptr || !errorOf(record)->remedy.empty()));
    (void)parseWorkerReport(document);
    (void)parseWorkerDescription(document);
    (void)parseHeartbeat(document);
}

// A body of arbitrary bytes is unchanged after it was written to the log and read.
RC_GTEST_PROP(PartitionLogRecords, preservesBodiesOfArbitraryBytes, (const std::vector<std::uint8_t> &bytes))
{
    const std::string body(bytes.begin(), bytes.end());
    const KeyOutcomeRecorded sent {"key", Outcome::Done, 200, "text/plain", body};
    const std::string text = writeJson(describe(PartitionLogRecord(sent)));
    const Result<PartitionLogRecord> read = parsePartitionLogRecord(std::get<Json>(parseJson(text, "a record")));
    RC_ASSERT(std::get<KeyOutcomeRecorded>(std::get<PartitionLogRecord>(read)).body == body);
}

}
