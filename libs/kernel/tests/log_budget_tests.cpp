#include "../src/nonblocking_appender.hpp"

#include <kernel/events.hpp>
#include <kernel/log_budget.hpp>

#include <gtest/gtest.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace foxtailvale::kernel
{

namespace
{

using std::chrono::seconds;

std::chrono::steady_clock::time_point const start{seconds(1000)};

} // namespace

// Guards against a burst of refusals that writes a line for each one: the
// writing takes the processor time that answers need.
TEST(log_budget, each_event_has_its_own_limit_and_left_out_lines_are_reported)
{
    log_budget budget;
    for (std::uint32_t line = 0; line < max_lines_per_second; ++line)
    {
        EXPECT_TRUE(admit_line(budget, 1401, start).may_write);
    }
    EXPECT_FALSE(admit_line(budget, 1401, start).may_write);
    EXPECT_FALSE(admit_line(budget, 1401, start).may_write);
    EXPECT_TRUE(admit_line(budget, 1101, start).may_write);
    auto const next = admit_line(budget, 1401, start + seconds(1));
    EXPECT_TRUE(next.may_write);
    EXPECT_EQ(next.left_out_lines, 2U);
    EXPECT_EQ(admit_line(budget, 1401, start + seconds(1)).left_out_lines, 0U);
}

// Guards against a log collector that stops reading: each line would then block
// until the pipe has room, and all requests of the process with it.
TEST(nonblocking_appender, a_reader_that_stops_does_not_stop_the_writer)
{
    int pipe_ends[2];
    ASSERT_EQ(pipe(pipe_ends), 0);
    auto const appender = make_nonblocking_appender(
        pipe_ends[1], std::make_shared<log4cxx::PatternLayout>("%m%n"));
    auto const logger = log4cxx::Logger::getLogger("nonblocking");
    logger->setAdditivity(false);
    logger->addAppender(appender);
    unwritten_lines();
    std::string const text(1000, 'x');
    for (auto line = 0; line < 1000; ++line)
    {
        LOG4CXX_INFO(logger, text);
    }
    EXPECT_GT(unwritten_lines(), 0U);
    std::string read_back(2000, ' ');
    EXPECT_GT(read(pipe_ends[0], read_back.data(), read_back.size()), 1000);
    EXPECT_EQ(read_back.substr(0, 1001), text + "\n");
    logger->removeAllAppenders();
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}

} // namespace foxtailvale::kernel
