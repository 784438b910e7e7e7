#pragma once

#include <kj/debug.h>

namespace Wire
{
/// Returns a list of a peer's message unchanged. Throws kj::Exception, which fails the call, if it has more items than
/// any daemon sends. The bound is needed since a list with zero-sized items can declare millions of items in a few
/// words.
template<typename List> [[nodiscard]] List checkLength(List list, unsigned mostItems, const char *name)
{
    KJ_REQUIRE(list.size() <= mostItems, "a peer's message has too many items", name, list.size());
    return list;
}
} // namespace Wire
