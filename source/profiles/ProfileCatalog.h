#pragma once

#include "configuration/VersionedEntries.h"
#include "profiles/Profile.h"

#include <map>
#include <memory>
#include <string>

namespace Wagtail
{

// The profiles in the configuration that this instance currently follows, with the revision of each.
class ProfileCatalog
{
public:
    struct Item
    {
        std::shared_ptr<const Profile> profile;
        StoreRevision revision = 0;
    };

    // Updates or removes the profile that a changed configuration entry holds. Ignores the keys of other entries.
    void update(const VersionedEntries &entries, const std::string &key);

    // Returns the profile, or null when there is no profile of this name.
    [[nodiscard]] std::shared_ptr<const Profile> find(const std::string &name) const;

    [[nodiscard]] const std::map<std::string, Item> &items() const;

private:
    std::map<std::string, Item> m_items;
};

}
