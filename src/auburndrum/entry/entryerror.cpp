#include "auburndrum/entry/entryerror.h"

namespace auburndrum::entry {

const char *toText(EntryError error)
{
    switch (error) {
    case EntryError::Unreachable:
        return "unreachable";
    case EntryError::Unanswered:
        return "unanswered";
    case EntryError::Unauthorized:
        return "unauthorized";
    case EntryError::Refused:
        return "refused";
    case EntryError::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace auburndrum::entry
