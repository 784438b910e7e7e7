#include "LibQuery/Outcome.h"

namespace Query
{
const char *outcomeName(outcome value)
{
    switch (value) {
    case outcome::Answered:
        return "answered";
    case outcome::Partial:
        return "partial";
    case outcome::NotRun:
        return "not_run";
    case outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}
} // namespace Query
