#include <gateway/settings_file.hpp>
#include <kernel/events.hpp>

#include <fstream>
#include <sstream>

namespace foxtailvale::gateway
{

namespace
{

std::string read_text(std::string const& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

settings_file::settings_file(std::string from) : path(std::move(from))
{
}

base::result<platform::settings> settings_file::read()
{
    this->text = read_text(this->path);
    return platform::read_settings(this->text);
}

std::optional<platform::settings> settings_file::read_changed()
{
    auto now = read_text(this->path);
    if (now == this->text || now.empty())
    {
        return std::nullopt;
    }
    this->text = std::move(now);
    auto read = platform::read_settings(this->text);
    if (read.has_error())
    {
        // The process keeps running with its previous settings.
        kernel::log_error(read.error(), {{"path", this->path}});
        return std::nullopt;
    }
    return read.value();
}

} // namespace foxtailvale::gateway
