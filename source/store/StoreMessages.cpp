#include "store/StoreMessages.h"

namespace Wagtail
{

StoreRevision StoreTransactionResult::currentRevision(const std::string &key) const
{
    for (const StoreEntry &entry : currentEntries) {
        if (entry.key == key) {
            return entry.revision;
        }
    }
    return MustNotExist;
}

}
