#include "store/StoreMessages.h"

namespace Wagtail
{

StoreRevision StoreCommit::presentRevision(const std::string &key) const
{
    for (const StoreEntry &entry : present) {
        if (entry.key == key) {
            return entry.revision;
        }
    }
    return MustNotExist;
}

}
