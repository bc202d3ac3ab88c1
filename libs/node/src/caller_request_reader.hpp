#ifndef FOXTAILVALE_NODE_CALLER_REQUEST_READER_HPP
#define FOXTAILVALE_NODE_CALLER_REQUEST_READER_HPP

#include <base/error.hpp>
#include <entry_core/events.hpp>
#include <release/settings.hpp>

#include <map>
#include <string>

namespace foxtailvale::node
{

// A received HTTP request, independent of the HTTP library.
struct raw_request
{
    std::string method;
    std::string path;
    std::string content_type;
    // Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

// Converts an HTTP request to the core's event; returns a 4xx error that names
// the fault.
base::result<entry_core::caller_request>
read_caller_request(raw_request raw, release::entry_settings const& settings);

} // namespace foxtailvale::node

#endif
