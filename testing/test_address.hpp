#ifndef FOXTAILVALE_TESTING_TEST_ADDRESS_HPP
#define FOXTAILVALE_TESTING_TEST_ADDRESS_HPP

#include <unistd.h>

#include <string>

namespace foxtailvale::testing
{

// Returns a loopback address derived from the process ID, so that tests of
// several checkouts can run concurrently on the same port numbers.
inline std::string own_address()
{
    auto const id = static_cast<unsigned>(getpid());
    return "127.200." + std::to_string((id >> 8U) & 255U) + "." +
           std::to_string(id & 255U);
}

} // namespace foxtailvale::testing

#endif
