#ifndef FOXTAILVALE_FUZZ_TARGETS_HPP
#define FOXTAILVALE_FUZZ_TARGETS_HPP

#include <string>
#include <string_view>
#include <vector>

// Fuzz targets. Each accepts arbitrary bytes and aborts the process when an
// invariant is violated.
namespace foxtailvale::fuzz
{

// Parses, validates and applies a release note.
void release_note(std::string_view bytes);

// Parses the bytes as settings of an entry and of an agent.
void settings(std::string_view bytes);

// Parses the bytes as one frame from a known peer and passes it to the cores
// of an entry and an agent.
void frame(std::string_view bytes);

// Takes the bytes for the rate limit that an endpoint names in its answer.
void named_rate_limit(std::string_view bytes);

// Decodes the bytes as a sequence of events for an entry's core: requests,
// ticks, answers and errors of endpoints, failed sends, platform answers and
// disconnects of callers.
void entry_events(std::string_view bytes);

// Decodes the bytes as a sequence of events for an agent's core.
void agent_events(std::string_view bytes);

// Seed inputs for mutation.
std::vector<std::string> release_note_seeds();
std::vector<std::string> settings_seeds();
std::vector<std::string> frame_seeds();
std::vector<std::string> rate_limit_seeds();

} // namespace foxtailvale::fuzz

#endif
