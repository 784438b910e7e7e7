#pragma once

#include <kj/debug.h>

namespace Wire
{
/// Returns a list of a peer's message, or throws kj::Exception, which fails the call, if it has more items than any
/// daemon sends. Without a bound, a few words of a list whose items take no space decode to millions of items.
template<typename List> [[nodiscard]] List checkLength(List list, unsigned maximumResultItems, const char *name)
{
    KJ_REQUIRE(list.size() <= maximumResultItems, "a peer's message has too many items", name, list.size());
    return list;
}
} // namespace Wire
