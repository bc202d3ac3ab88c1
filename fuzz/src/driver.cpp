#include "targets.hpp"

#include <cstddef>
#include <cstdint>

// The build says which target; this one stands in for editors and linters.
#ifndef FOXTAILVALE_FUZZ_TARGET
#define FOXTAILVALE_FUZZ_TARGET release_note
#endif

// libFuzzer's entry point; the name is its own.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int
LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    foxtailvale::fuzz::FOXTAILVALE_FUZZ_TARGET(
        {reinterpret_cast<char const*>(data), size});
    return 0;
}
// NOLINTEND(readability-identifier-naming)
