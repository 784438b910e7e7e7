#include "DataPath/CountAllocations.h"

#include <cstdlib>
#include <new>

static thread_local std::uint64_t allocations = 0;

std::uint64_t Bench::allocationsOfThread()
{
    return allocations;
}

void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
