#pragma once

#include "LibExchange/StoreRevision.h"

namespace Exchange
{
/// A range of store revisions, both ends included.
struct revision_range {
    store_revision first;
    store_revision last;
};
} // namespace Exchange
