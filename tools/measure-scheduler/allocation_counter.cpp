#include "allocation_counter.h"

#include <cstdlib>
#include <new>

namespace {

std::uint64_t count = 0; // the program has one thread

} // namespace

void *operator new(std::size_t size)
{
    ++count;
    if (void *memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

// Replaced too, because AddressSanitizer rejects memory of its own operator new in the operator delete below.
void *operator new(std::size_t size, const std::nothrow_t &) noexcept
{
    ++count;
    return std::malloc(size == 0 ? 1 : size);
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace parsleyglade {

std::uint64_t allocationCount()
{
    return count;
}

} // namespace parsleyglade
