#ifndef FOXTAILVALE_KERNEL_NONBLOCKING_APPENDER_HPP
#define FOXTAILVALE_KERNEL_NONBLOCKING_APPENDER_HPP

#include <log4cxx/appender.h>
#include <log4cxx/layout.h>

#include <cstdint>

namespace foxtailvale::kernel
{

// Returns an appender that writes each line to the file descriptor without ever
// blocking on the reader: a reader that stops reading must not stop the
// process. A line that does not fit into the pipe is left out entirely.
log4cxx::AppenderPtr
make_nonblocking_appender(int descriptor, log4cxx::LayoutPtr layout);

// Returns the number of lines that did not fit into the pipe since the last
// call.
std::uint32_t unwritten_lines();

} // namespace foxtailvale::kernel

#endif
