#include "base/BlockedSignals.h"
#include "daemon/Daemon.h"
#include "logging/Log.h"
#include "settings/SettingsFile.h"

#include <cstdio>
#include <cstdlib>
#include <curl/curl.h>
#include <popt.h>

namespace
{

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitAddress = 4;

int serve(const Wagtail::Settings &settings, Wagtail::BlockedSignals &signals)
{
    Wagtail::startLog(settings.instanceName, settings.logLevel);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    auto daemon = Wagtail::Daemon::create(settings);
    if (const Wagtail::Error *error = Wagtail::errorOf(daemon)) {
        Wagtail::printErrors({*error});
        return ExitAddress;
    }
    // The daemon handles them from its creation on.
    signals.release();
    const int status = std::get<std::unique_ptr<Wagtail::Daemon>>(daemon)->run();
    Wagtail::flushLog();
    // Handlers of late answers may still refer to objects of the other stopped threads, so destroying them in order is
    // not possible. Nothing is left to save, so the process exits without running destructors.
    std::_Exit(status);
}

}

int main(int count, const char **arguments)
{
    Wagtail::BlockedSignals signals {SIGTERM, SIGINT};
    char *settingsPath = nullptr;
    int checkOnly = 0;
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settingsPath, 0, "The settings file (TOML)", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &checkOnly, 0, "Check the settings and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND,
    };
    poptContext context = poptGetContext("wagtaild", count, arguments, options, 0);
    const int parsed = poptGetNextOpt(context);
    const bool usable = parsed == -1 && settingsPath != nullptr && poptPeekArg(context) == nullptr;
    if (!usable) {
        std::fprintf(stderr, "wagtaild: --settings FILE is required; see wagtaild --help\n");
        poptFreeContext(context);
        return ExitUsage;
    }
    const std::string path = settingsPath;
    poptFreeContext(context);
    const auto text = Wagtail::readSettingsFile(path);
    if (const Wagtail::Error *error = Wagtail::errorOf(text)) {
        Wagtail::printErrors({*error});
        return ExitSettings;
    }
    const auto settings = Wagtail::parseSettings(std::get<std::string>(text), path);
    if (const auto *errors = std::get_if<std::vector<Wagtail::Error>>(&settings)) {
        Wagtail::printErrors(*errors);
        return ExitSettings;
    }
    if (checkOnly != 0) {
        std::printf("%s is valid\n", path.c_str());
        return 0;
    }
    return serve(std::get<Wagtail::Settings>(settings), signals);
}
