#ifndef FOXTAILVALE_GATEWAY_SETTINGS_FILE_HPP
#define FOXTAILVALE_GATEWAY_SETTINGS_FILE_HPP

#include <platform/settings.hpp>

#include <optional>
#include <string>

namespace foxtailvale::gateway
{

// The settings file of a process. It is read again at SIGHUP and periodically,
// because the file may change without a signal.
class settings_file
{
public:
    explicit settings_file(std::string path);

    // Reads and parses the file. Fails with bad_settings, which lists all
    // errors found.
    base::result<platform::settings> read();

    // Reads the file and parses it if its text has changed since the last read.
    // Returns nothing when it has not changed, cannot be read or is empty, or
    // has errors, which are logged.
    std::optional<platform::settings> read_changed();

private:
    std::string path;
    std::string text;
};

} // namespace foxtailvale::gateway

#endif
