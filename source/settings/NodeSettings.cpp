#include "settings/NodeSettings.h"

#include "settings/TomlReader.h"

#include <charconv>
#include <cmath>

namespace Wagtail
{

namespace
{

constexpr double MilliCoresPerCore = 1'000.0;
constexpr double MillisecondsPerSecond = 1'000.0;

// Reads the tables of the settings and collects every fault.
class Reader
{
public:
    Reader(const Json &document, std::string fileName) : m_document(document), m_fileName(std::move(fileName))
    {
    }

    std::string text(const char *table, const char *key)
    {
        const Json member = find(table, key);
        if (!member.is_string() || member.get<std::string>().empty()) {
            fault(table, key, "is missing or no text", "give a text");
            return {};
        }
        return member.get<std::string>();
    }

    double number(const char *table, const char *key, double least, double most)
    {
        const Json member = find(table, key);
        if (!member.is_number()) {
            fault(table, key, "is missing or no number", "give a number");
            return least;
        }
        const double value = member.get<double>();
        if (value < least || value > most) {
            fault(table, key, "is out of range", "give " + std::to_string(least) + " to " + std::to_string(most));
            return least;
        }
        return value;
    }

    Milliseconds milliseconds(const char *table, const char *key)
    {
        constexpr double Hour = 3'600'000.0;
        return Milliseconds(std::llround(number(table, key, 0.0, Hour)));
    }

    Milliseconds seconds(const char *table, const char *key)
    {
        constexpr double Day = 86'400.0;
        return Milliseconds(std::llround(number(table, key, 0.0, Day) * MillisecondsPerSecond));
    }

    Endpoint endpoint(const char *table, const char *key)
    {
        const std::string value = text(table, key);
        Result<Endpoint> parsed = Endpoint::parse(value);
        if (const Error *error = errorOf(parsed)) {
            if (!value.empty()) {
                fault(table, key, error->detail, error->remedy);
            }
            return {};
        }
        return std::get<Endpoint>(parsed);
    }

    std::optional<Endpoint> optionalEndpoint(const char *table, const char *key)
    {
        const Json member = find(table, key);
        const bool missing = member.is_null() || (member.is_string() && member.get<std::string>().empty());
        return missing ? std::nullopt : std::optional(endpoint(table, key));
    }

    std::map<std::string, std::string> texts(const char *table)
    {
        std::map<std::string, std::string> values;
        const Json members = memberOr(m_document, table, Json::object());
        for (const auto &[key, value] : members.items()) {
            if (value.is_string()) {
                values[key] = value.get<std::string>();
            } else {
                fault(table, key.c_str(), "is no text", "give a text");
            }
        }
        return values;
    }

    void fault(const char *table, const char *key, const std::string &what, const std::string &remedy)
    {
        m_errors.push_back({ErrorKind::InvalidInput, m_fileName + ": " + table + "." + key + " " + what, remedy});
    }

    std::vector<Error> takeErrors()
    {
        return std::move(m_errors);
    }

private:
    [[nodiscard]] Json find(const char *table, const char *key) const
    {
        return memberOr(memberOr(m_document, table, Json::object()), key, Json());
    }

    const Json &m_document;
    std::string m_fileName;
    std::vector<Error> m_errors;
};

}

std::string Endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

Result<Endpoint> Endpoint::parse(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    Endpoint endpoint;
    if (colon != std::string::npos && colon > 0) {
        endpoint.address = text.substr(0, colon);
        const char *last = text.data() + text.size();
        const auto [end, error] = std::from_chars(text.data() + colon + 1, last, endpoint.port);
        if (error == std::errc() && end == last && endpoint.port > 0) {
            return endpoint;
        }
    }
    return Error {ErrorKind::InvalidInput, "\"" + text + "\" is no address", "give ip:port with a port of 1 to 65535"};
}

std::variant<NodeSettings, std::vector<Error>> parseNodeSettings(const std::string &text, const std::string &fileName)
{
    const Result<Json> document = parseToml(text, fileName);
    if (const Error *error = errorOf(document)) {
        return std::vector<Error> {*error};
    }
    Reader reader(std::get<Json>(document), fileName);
    NodeSettings settings;
    settings.instanceName = reader.text("instance", "name");
    settings.dataCentre = reader.text("instance", "data_centre");
    settings.region = reader.text("instance", "region");
    settings.regions = reader.texts("regions");
    settings.callers = reader.endpoint("listen", "callers");
    settings.readiness = reader.endpoint("listen", "readiness");
    settings.peers = reader.endpoint("listen", "peers");
    settings.advertisedPeers = reader.optionalEndpoint("listen", "advertised_peers").value_or(settings.peers);
    settings.metrics = reader.endpoint("listen", "metrics");
    settings.store = reader.endpoint("store", "address");
    settings.advisor = reader.optionalEndpoint("advisor", "address");
    constexpr double MostCores = 1'024.0;
    settings.milliCores = std::llround(reader.number("limits", "processor_share", 0.0, MostCores) * MilliCoresPerCore);
    settings.workerLease = reader.milliseconds("workers", "lease_ms");
    settings.workerDrain = reader.milliseconds("workers", "drain_ms");
    settings.statusRetention = reader.seconds("jobs", "status_retention_s");
    settings.shutdownGrace = reader.seconds("shutdown", "grace_s");
    settings.logLevel = reader.text("log", "level");
    if (!settings.dataCentre.empty() && !settings.regions.contains(settings.dataCentre)) {
        reader.fault("regions", settings.dataCentre.c_str(), "is missing", "name the region of each data centre");
    }
    std::vector<Error> errors = reader.takeErrors();
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

}
