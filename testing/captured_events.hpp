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

// Keeps the log lines that are written while it lives.
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
        if (!this->taken)
        {
            this->take();
        }
    }

    // Ends the capture: bodies of the lines with this name, in order.
    std::vector<nlohmann::json> named(std::string const& name)
    {
        if (!this->taken)
        {
            this->take();
        }
        std::vector<nlohmann::json> found;
        for (auto const& body : this->bodies)
        {
            if (body.value("name", "") == name)
            {
                found.push_back(body);
            }
        }
        return found;
    }

private:
    void take()
    {
        this->taken = true;
        kernel::start_logging("test", "off");
        std::istringstream lines(::testing::internal::GetCapturedStderr());
        for (std::string line; std::getline(lines, line);)
        {
            auto const read = nlohmann::json::parse(line, nullptr, false);
            if (read.is_object() && read.contains("body"))
            {
                this->bodies.push_back(read["body"]);
            }
        }
    }

    bool taken = false;
    std::vector<nlohmann::json> bodies;
};

} // namespace foxtailvale::testing

#endif
