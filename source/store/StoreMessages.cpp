#include "store/StoreMessages.h"

namespace Wagtail
{

const StoreEntry *StoreTransactionResult::currentEntry(const std::string &key) const
{
    for (const StoreEntry &entry : currentEntries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

StoreRevision StoreTransactionResult::currentRevision(const std::string &key) const
{
    const StoreEntry *entry = currentEntry(key);
    return entry == nullptr ? MustNotExist : entry->revision;
}

}
