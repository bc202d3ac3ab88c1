#ifndef FOXTAILVALE_CTL_RELEASE_COMMANDS_HPP
#define FOXTAILVALE_CTL_RELEASE_COMMANDS_HPP

#include <string>

namespace foxtailvale::ctl
{

// Checks a release note against the configuration in force, or on its own if
// the platform's address is empty. Returns the exit code.
int check_note(std::string const& platform, std::string const& path);

// Applies a release note with one conditional update. Returns the exit code.
int apply_note(std::string const& platform, std::string const& path);

// Prints the configuration in force. Returns the exit code.
int show_release(std::string const& platform);

} // namespace foxtailvale::ctl

#endif
