#ifndef FOXTAILVALE_TESTING_CAPTURED_EVENTS_HPP
#define FOXTAILVALE_TESTING_CAPTURED_EVENTS_HPP

#include <kernel/events.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sstream>
#include <string>
#include <vector>

namespace foxtailvale::testing
{

// Captures the log lines that the process writes to standard error during the
// lifetime of this object. Only one capture can be active at a time, and
// logging is off afterwards.
class captured_events
{
public:
    captured_events()
    {
        ::testing::internal::CaptureStderr();
        kernel::start_logging("test", "info");
    }

    captured_events(captured_events const&) = delete;
    captured_events& operator=(captured_events const&) = delete;

    ~captured_events()
    {
        if (!this->finished)
        {
            this->finish_capture();
        }
    }

    // Ends the capture and returns the bodies of the captured events with this
    // name, in the order they were written.
    std::vector<nlohmann::json> named(std::string const& name)
    {
        if (!this->finished)
        {
            this->finish_capture();
        }
        std::vector<nlohmann::json> matches;
        for (auto const& body : this->bodies)
        {
            if (body.value("name", "") == name)
            {
                matches.push_back(body);
            }
        }
        return matches;
    }

private:
    void finish_capture()
    {
        this->finished = true;
        kernel::start_logging("test", "off");
        std::istringstream lines(::testing::internal::GetCapturedStderr());
        for (std::string line; std::getline(lines, line);)
        {
            auto const parsed = nlohmann::json::parse(line, nullptr, false);
            if (parsed.is_object() && parsed.contains("body"))
            {
                this->bodies.push_back(parsed["body"]);
            }
        }
    }

    bool finished = false;
    std::vector<nlohmann::json> bodies;
};

} // namespace foxtailvale::testing

#endif
