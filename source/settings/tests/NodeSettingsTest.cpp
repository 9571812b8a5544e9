#include "settings/NodeSettings.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

const std::string Valid = R"(
[instance]
name = "edge-1"
data_centre = "depot"
region = "wheatbelt"
[regions]
depot = "wheatbelt"
[listen]
callers = "127.0.0.1:8161"
readiness = "127.0.0.1:8167"
peers = "127.0.0.1:7720"
metrics = "127.0.0.1:9464"
[store]
address = "127.0.0.1:8169"
[limits]
processor_share = 0.25
[workers]
lease_ms = 6000
drain_ms = 3000
[jobs]
status_retention_s = 120
[shutdown]
grace_s = 6
[log]
level = "info"
)";

}

TEST(NodeSettings, areReadInTheirUnits)
{
    const auto parsed = parseNodeSettings(Valid, "node.toml");
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(parsed));
    const auto &settings = std::get<NodeSettings>(parsed);
    EXPECT_EQ(settings.milliCores, 250);
    EXPECT_EQ(settings.workerLease, Milliseconds(6'000));
    EXPECT_EQ(settings.statusRetention, Milliseconds(120'000));
    EXPECT_EQ(settings.peers, (Endpoint {"127.0.0.1", 7720}));
    EXPECT_EQ(settings.advertisedPeers, settings.peers);
}

TEST(NodeSettings, mayAdvertiseAnotherAddressForPeers)
{
    std::string text = Valid;
    text.insert(text.find("metrics ="), "advertised_peers = \"192.0.2.1:7721\"\n");
    const auto parsed = parseNodeSettings(text, "node.toml");
    ASSERT_TRUE(std::holds_alternative<NodeSettings>(parsed));
    const auto &settings = std::get<NodeSettings>(parsed);
    EXPECT_EQ(settings.peers, (Endpoint {"127.0.0.1", 7720}));
    EXPECT_EQ(settings.advertisedPeers, (Endpoint {"192.0.2.1", 7721}));
}

TEST(NodeSettings, rejectAnAdvertisedAddressWithoutPort)
{
    std::string text = Valid;
    text.insert(text.find("metrics ="), "advertised_peers = \"192.0.2.1\"\n");
    const auto parsed = parseNodeSettings(text, "node.toml");
    const auto *errors = std::get_if<std::vector<Error>>(&parsed);
    ASSERT_NE(errors, nullptr);
    ASSERT_EQ(errors->size(), 1U);
    EXPECT_NE(errors->front().detail.find("listen.advertised_peers"), std::string::npos);
}

TEST(NodeSettings, nameEveryFaultWithItsRemedy)
{
    std::string text = Valid;
    text.replace(text.find("127.0.0.1:8161"), 14, "127.0.0.1:0");
    text.replace(text.find("lease_ms = 6000"), 15, "lease_ms = \"x\"");
    text.replace(text.find("depot = \"wheatbelt\""), 19, "");
    const auto parsed = parseNodeSettings(text, "node.toml");
    ASSERT_TRUE(std::holds_alternative<std::vector<Error>>(parsed));
    const auto &errors = std::get<std::vector<Error>>(parsed);
    ASSERT_EQ(errors.size(), 3U);
    for (const Error &error : errors) {
        EXPECT_EQ(error.detail.substr(0, 10), "node.toml:");
        EXPECT_FALSE(error.remedy.empty());
    }
}

// Guards against settings that overflow the stack, or whose text as JSON fills the memory, when they are read again.
TEST(NodeSettings, rejectTablesThatNestDeeply)
{
    for (const std::size_t depth : {100UL, 5'000UL, 9'000UL, 300'000UL}) {
        std::string key;
        for (std::size_t i = 0; i < depth; ++i) {
            key += "a.";
        }
        for (const std::string &deep : {key + "a = 1\n", "[" + key + "a]\n"}) {
            const auto parsed = parseNodeSettings(deep + Valid, "node.toml");
            const auto *errors = std::get_if<std::vector<Error>>(&parsed);
            ASSERT_NE(errors, nullptr) << depth;
            EXPECT_NE(errors->front().detail.find("node.toml is nested too deeply"), std::string::npos);
        }
    }
    const auto parsed = parseNodeSettings("a = " + std::string(200, '[') + std::string(200, ']') + Valid, "node.toml");
    EXPECT_TRUE(std::holds_alternative<std::vector<Error>>(parsed));
}

}
