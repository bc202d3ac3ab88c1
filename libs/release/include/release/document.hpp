#ifndef FOXTAILVALE_RELEASE_DOCUMENT_HPP
#define FOXTAILVALE_RELEASE_DOCUMENT_HPP

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailvale::release
{

// Position of a value in its file; both numbers start at 1.
struct position
{
    std::size_t line = 1;
    std::size_t column = 1;
};

// A fault in an operator's file.
struct fault
{
    position where;
    // JSON pointer to the value; empty for the complete document.
    std::string path;
    std::string what;
};

// A parsed document of JSON with comments, with the position of each value, so
// that later checks can report line and column. Values that could not be read
// leave faults; so does each retry_safety of a key in an object.
struct document
{
    // Source of the text, for messages.
    std::string name;
    nlohmann::json value;
    std::map<std::string, position> positions;
    std::vector<fault> faults;
};

// Parses a text. Never throws; errors become faults of the document.
document parse_document(std::string name, std::string_view text);

// Reads a file. A file that cannot be read is a fault of the document.
document load_document(std::string const& path);

// Formats each fault as one line, "name:line:column: path: what", ordered by
// position.
std::string describe(document const& source, std::vector<fault> const& faults);

} // namespace foxtailvale::release

#endif
