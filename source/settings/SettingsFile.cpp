#include "settings/SettingsFile.h"

#include <cstdio>
#include <fstream>
#include <sstream>

namespace Wagtail
{

Result<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Error {ErrorKind::InvalidInput, path + " can't be read", "give the path of a readable file"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printErrors(const std::vector<Error> &errors)
{
    for (const Error &error : errors) {
        std::fprintf(stderr, "%s\n    remedy: %s\n", error.detail.c_str(), error.remedy.c_str());
    }
}

}
