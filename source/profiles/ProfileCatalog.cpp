#include "profiles/ProfileCatalog.h"

#include "configuration/ClusterKeys.h"
#include "configuration/ConfigurationValue.h"

namespace Wagtail
{

void ProfileCatalog::update(const VersionedEntries &entries, const std::string &key)
{
    if (!key.starts_with(ClusterKeys::Profiles)) {
        return;
    }
    const std::string name = key.substr(ClusterKeys::Profiles.size());
    const StoreEntry *entry = entries.find(key);
    if (entry == nullptr) {
        m_items.erase(name);
        return;
    }
    const Result<Json> document = readConfigurationValue(entry->value, "profile " + name);
    if (errorOf(document) != nullptr) {
        return;
    }
    Result<Profile> profile = parseProfile(name, std::get<Json>(document));
    if (errorOf(profile) != nullptr) {
        // A newer release may write profiles that this one can't parse. The last valid version stays in force.
        return;
    }
    m_items[name] = {std::make_shared<const Profile>(std::move(std::get<Profile>(profile))), entry->revision};
}

std::shared_ptr<const Profile> ProfileCatalog::find(const std::string &name) const
{
    const auto found = m_items.find(name);
    return found == m_items.end() ? nullptr : found->second.profile;
}

const std::map<std::string, ProfileCatalog::Item> &ProfileCatalog::items() const
{
    return m_items;
}

}
