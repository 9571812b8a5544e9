#include "settings/Settings.h"

#include "base/MemberReader.h"
#include "settings/TomlReader.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr std::int64_t LargestPort = 65535;
constexpr std::int64_t OneDay = 24LL * 3600 * 1000;

// Reads the sections of a document one after another and gathers their faults.
class SectionReader
{
public:
    SectionReader(const Json &document, std::string fileName) : m_document(document), m_fileName(std::move(fileName))
    {
    }

    template<typename Read> void section(const std::string &name, Read read)
    {
        m_known.insert(name);
        const auto found = m_document.find(name);
        this->read("[" + name + "]", found == m_document.end() ? Json::object() : *found, read);
    }

    template<typename Read> void sections(const std::string &name, Read read)
    {
        m_known.insert(name);
        const auto found = m_document.find(name);
        if (found == m_document.end() || !found->is_array() || found->empty()) {
            fault("[[" + name + "]] is missing", "add at least one [[" + name + "]] section");
            return;
        }
        for (const Json &item : *found) {
            this->read("[[" + name + "]]", item, read);
        }
    }

    void require(const std::string &key, bool holds, const std::string &what, const std::string &remedy)
    {
        if (!holds) {
            fault(key + " " + what, remedy);
        }
    }

    [[nodiscard]] std::vector<Error> finish()
    {
        for (const auto &[name, value] : m_document.items()) {
            if (!m_known.contains(name)) {
                fault("section '" + name + "' is not known", "remove or correct '" + name + "'");
            }
        }
        return m_errors;
    }

private:
    template<typename Read> void read(const std::string &title, const Json &section, Read read)
    {
        MemberReader reader(section, m_fileName + ", " + title);
        read(reader);
        const Status status = reader.finish();
        if (const Error *error = errorOf(status)) {
            m_errors.push_back(*error);
        }
    }

    void fault(const std::string &what, const std::string &remedy)
    {
        m_errors.push_back({ErrorKind::InvalidInput, m_fileName + ": " + what, remedy});
    }

    Json m_document;
    std::string m_fileName;
    std::set<std::string> m_known;
    std::vector<Error> m_errors;
};

void readLimits(MemberReader &reader, Settings &settings)
{
    settings.bodyBytes = reader.integer("body_bytes", 1024, 16 << 20, 1 << 20);
    settings.instanceLease = reader.integer("instance_lease_ms", 1000, 60'000, 3000);
    settings.taskLease = reader.integer("task_lease_ms", 1000, 600'000, 5000);
    settings.heartbeat = reader.integer("heartbeat_ms", 100, 60'000, 1000);
    settings.drain = reader.integer("drain_ms", 100, 600'000, 20'000);
    settings.unreachedHold = reader.integer("unreached_hold_ms", 1000, OneDay, 1'800'000);
    settings.claimWindow = reader.integer("claim_window_ms", 1000, 3'600'000, 900'000);
    settings.timelineEvents = reader.integer("timeline_events", 100, 200'000, 10'000);
}

void checkDataCentre(SectionReader &reader, const Settings &settings)
{
    const auto own = std::ranges::find(settings.dataCentres, settings.dataCentre, &DataCentreSettings::name);
    reader.require("instance.data_centre", own != settings.dataCentres.end(),
        "'" + settings.dataCentre + "' has no [[data_centres]] section",
        "name one of the listed data centres, or list this one");
    reader.require("instance.region", own == settings.dataCentres.end() || own->region == settings.region,
        "differs from the region of its data centre", "give both the same region");
    std::set<std::string> names;
    for (const DataCentreSettings &dataCentre : settings.dataCentres) {
        reader.require("data_centres.name", names.insert(dataCentre.name).second,
            "'" + dataCentre.name + "' stands twice", "give each data centre a name of its own");
    }
}

}

std::variant<Settings, std::vector<Error>> parseSettings(const std::string &text, const std::string &fileName)
{
    const Result<Json> document = parseToml(text, fileName);
    if (const Error *error = errorOf(document)) {
        return std::vector<Error> {*error};
    }
    Settings settings;
    SectionReader reader(std::get<Json>(document), fileName);
    reader.section("instance", [&settings](MemberReader &section) {
        settings.instanceName = section.text("name", "");
        settings.dataCentre = section.text("data_centre", "");
        settings.region = section.text("region", "");
    });
    reader.section("listen", [&settings](MemberReader &section) {
        settings.listenAddress = section.text("address", "127.0.0.1");
        settings.httpPort = static_cast<std::uint16_t>(section.integer("http_port", 1, LargestPort, 8080));
        settings.peerPort = static_cast<std::uint16_t>(section.integer("peer_port", 1, LargestPort, 8081));
    });
    reader.section("store", [&settings](MemberReader &section) {
        settings.storeAddress = section.text("address", "");
        settings.storeTimeout = section.integer("timeout_ms", 50, 30'000, 700);
    });
    reader.section("peers", [&settings](MemberReader &section) { settings.peerSeeds = section.texts("seeds"); });
    reader.sections("data_centres", [&settings](MemberReader &section) {
        DataCentreSettings dataCentre;
        dataCentre.name = section.text("name", "");
        dataCentre.region = section.text("region", "");
        dataCentre.partitions = static_cast<int>(section.integer("partitions", 1, 64, 4));
        settings.dataCentres.push_back(std::move(dataCentre));
    });
    reader.section("limits", [&settings](MemberReader &section) { readLimits(section, settings); });
    reader.section("log", [&settings](MemberReader &section) {
        settings.logLevel = section.choice("level", {"debug", "info", "warning", "error"}, "info");
    });
    reader.require("instance.name", !settings.instanceName.empty(), "is missing", "set name in [instance]");
    reader.require("store.address", settings.storeAddress.starts_with("http://"), "is no http:// address",
        "set address in [store] to http://ip:port");
    reader.require("limits.task_lease_ms", settings.taskLease >= 3 * settings.heartbeat,
        "is shorter than three heartbeats", "raise task_lease_ms or lower heartbeat_ms");
    reader.require("limits.instance_lease_ms", settings.instanceLease > 2 * settings.storeTimeout,
        "leaves no time for a second renewal", "raise instance_lease_ms or lower store.timeout_ms");
    checkDataCentre(reader, settings);
    std::vector<Error> errors = reader.finish();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

}
