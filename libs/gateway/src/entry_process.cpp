#include "entry.hpp"
#include "metrics_door.hpp"

#include <gateway/entry_process.hpp>
#include <kernel/events.hpp>

namespace foxtailvale::gateway
{

int run_entry(std::string const& settings_path)
{
    settings_file file(settings_path);
    auto const settings = file.read();
    if (settings.has_error())
    {
        kernel::start_logging(
            "foxtailvale-entry", "info", kernel::log_target::standard_output);
        kernel::log_error(settings.error(), {{"path", settings_path}});
        return 2;
    }
    kernel::start_logging(
        settings.value().name, "info", kernel::log_target::standard_output);
    boost::asio::io_context loop(1);
    auto const process =
        std::make_shared<entry_process>(loop, file, settings.value());
    if (auto const fault = process->start())
    {
        kernel::log_error({base::error_kind::bad_settings, *fault});
        return 1;
    }
    auto const shown =
        open_metrics_door(loop, settings.value().ip, process->counters());
    kernel::log_event(
        kernel::event_id::process_started,
        {{"callers", settings.value().caller_address},
         {"peer_port", settings.value().peer_port}});
    loop.run();
    return 0;
}

} // namespace foxtailvale::gateway
