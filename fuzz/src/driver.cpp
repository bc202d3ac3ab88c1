#include "targets.hpp"

#include <cstddef>
#include <cstdint>

// libFuzzer's entry point; the name is its own.
extern "C" int
LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    foxtailvale::fuzz::FOXTAILVALE_FUZZ_TARGET(
        {reinterpret_cast<char const*>(data), size});
    return 0;
}
