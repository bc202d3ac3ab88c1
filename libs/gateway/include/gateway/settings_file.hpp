#ifndef FOXTAILVALE_GATEWAY_SETTINGS_FILE_HPP
#define FOXTAILVALE_GATEWAY_SETTINGS_FILE_HPP

#include <platform/settings.hpp>

#include <optional>
#include <string>

namespace foxtailvale::gateway
{

// The settings file of a process, read again when it changes: at SIGHUP and
// when another look finds other text, since files may change without a signal.
class settings_file
{
public:
    explicit settings_file(std::string path);

    // Reads the file; bad_settings with all faults.
    base::result<platform::settings> read();

    // Reads the file if its text is another than before. Nothing when it is
    // not or when the new text has faults, which are logged.
    std::optional<platform::settings> read_changed();

private:
    std::string path;
    std::string text;
};

} // namespace foxtailvale::gateway

#endif
