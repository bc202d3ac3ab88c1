#ifndef FOXTAILVALE_KERNEL_NONBLOCKING_APPENDER_HPP
#define FOXTAILVALE_KERNEL_NONBLOCKING_APPENDER_HPP

#include <log4cxx/appender.h>
#include <log4cxx/layout.h>

#include <cstdint>

namespace foxtailvale::kernel
{

// Writes each line to the descriptor without ever waiting for its reader. A
// reader that stops reading must not stop the process; a line that does not fit
// in the pipe is left out whole.
log4cxx::AppenderPtr
make_nonblocking_appender(int descriptor, log4cxx::LayoutPtr layout);

// Lines that did not fit since the last call.
std::uint32_t unwritten_lines();

} // namespace foxtailvale::kernel

#endif
