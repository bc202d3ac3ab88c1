#include "targets.hpp"

#include <cstddef>
#include <cstdint>

// The build defines the target; this default is for editors and linters.
#ifndef FOXTAILVALE_FUZZ_TARGET
#define FOXTAILVALE_FUZZ_TARGET release_note
#endif

// libFuzzer requires this name for its entry point.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" int
LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    foxtailvale::fuzz::FOXTAILVALE_FUZZ_TARGET(
        {reinterpret_cast<char const*>(data), size});
    return 0;
}
// NOLINTEND(readability-identifier-naming)
