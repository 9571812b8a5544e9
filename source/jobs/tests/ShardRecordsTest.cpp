#include "jobs/ShardRecords.h"
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

// Documents of any shape give a record or a typed error.
RC_GTEST_PROP(ShardRecords, anyDocumentGivesARecordOrAnError, ())
{
    const Json document = *documents();
    const Result<ShardRecord> record = parseShardRecord(document);
    RC_ASSERT((errorOf(record) == nullptr || !errorOf(record)->remedy.empty()));
    (void)parseWorkerReport(document);
    (void)parseWorkerDescription(document);
    (void)parseHeartbeat(document);
}

// A body of any bytes is the same after it was written to the log and read back.
RC_GTEST_PROP(ShardRecords, keepsAnswersOfAnyBytes, (const std::vector<std::uint8_t> &bytes))
{
    const std::string body(bytes.begin(), bytes.end());
    const KeyOutcomeRecorded sent {"key", Outcome::Done, 200, "text/plain", body};
    const std::string text = writeJson(describe(ShardRecord(sent)));
    const Result<ShardRecord> read = parseShardRecord(std::get<Json>(parseJson(text, "a record")));
    RC_ASSERT(std::get<KeyOutcomeRecorded>(std::get<ShardRecord>(read)).body == body);
}

}
