#ifndef FOXTAILVALE_FUZZ_TARGETS_HPP
#define FOXTAILVALE_FUZZ_TARGETS_HPP

#include <string>
#include <string_view>
#include <vector>

// Functions that take any bytes. They end the process when something breaks
// that must hold for any bytes.
namespace foxtailvale::fuzz
{

// Reads, checks and applies a release note.
void release_note(std::string_view bytes);

// Reads an entry's and an agent's settings.
void settings(std::string_view bytes);

// Takes the bytes as one frame from a known peer into both cores.
void frame(std::string_view bytes);

// Takes the bytes as a sequence of small choices: requests, answers, ticks,
// platform answers, and broken answers into an entry's core.
void entry_events(std::string_view bytes);

// The same for an agent's core.
void agent_events(std::string_view bytes);

// Inputs from which mutations start.
std::vector<std::string> release_note_seeds();
std::vector<std::string> settings_seeds();
std::vector<std::string> frame_seeds();

} // namespace foxtailvale::fuzz

#endif
