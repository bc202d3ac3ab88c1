#include "nonblocking_appender.hpp"

#include <fcntl.h>
#include <log4cxx/appenderskeleton.h>
#include <unistd.h>

#include <climits>
#include <utility>

namespace foxtailvale::kernel
{

namespace
{

// The macros of log4cxx refer to its nested namespaces without the outermost
// one.
namespace helpers = log4cxx::helpers;
namespace spi = log4cxx::spi;
using log4cxx::LogString;

std::uint32_t& unwritten()
{
    static std::uint32_t lines = 0;
    return lines;
}

class nonblocking_appender : public log4cxx::AppenderSkeleton
{
public:
    DECLARE_ABSTRACT_LOG4CXX_OBJECT(nonblocking_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(nonblocking_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(log4cxx::AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    explicit nonblocking_appender(int target) : descriptor(target)
    {
        auto const flags = fcntl(target, F_GETFL);
        fcntl(target, F_SETFL, flags | O_NONBLOCK);
    }

    void close() override
    {
    }

    bool requiresLayout() const override
    {
        return true;
    }

protected:
    void append(
        log4cxx::spi::LoggingEventPtr const& event,
        log4cxx::helpers::Pool& pool) override
    {
        std::string text;
        this->getLayout()->format(text, event, pool);
        // Writes to a pipe are atomic only up to PIPE_BUF bytes.
        if (text.size() > PIPE_BUF)
        {
            text.resize(PIPE_BUF - 1);
            text.push_back('\n');
        }
        auto const count = write(this->descriptor, text.data(), text.size());
        if (count < 0)
        {
            ++unwritten();
        }
    }

private:
    int descriptor = -1;
};

helpers::Class const& nonblocking_appender::getClass() const
{
    return getStaticClass();
}

helpers::Class const& nonblocking_appender::getStaticClass()
{
    static Clazznonblocking_appender const instance;
    return instance;
}

} // namespace

log4cxx::AppenderPtr
make_nonblocking_appender(int descriptor, log4cxx::LayoutPtr layout)
{
    auto appender = std::make_shared<nonblocking_appender>(descriptor);
    appender->setLayout(std::move(layout));
    return appender;
}

std::uint32_t unwritten_lines()
{
    return std::exchange(unwritten(), 0);
}

} // namespace foxtailvale::kernel
