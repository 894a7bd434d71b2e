#include <ragwortrelay/runtime/logging.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace RagwortRelay::Runtime {

namespace {

log4cxx::LoggerPtr productLogger()
{
    return log4cxx::Logger::getLogger("ragwortrelay");
}

log4cxx::LevelPtr levelFrom(const std::string &name)
{
    return log4cxx::Level::toLevel(name == "warning" ? "WARN" : name);
}

}

void configureLogging(const Settings::LogSettings &settings)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(settings.m_layout);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    productLogger()->setLevel(levelFrom(settings.m_level));
}

void logChange(const std::string &text)
{
    LOG4CXX_INFO(productLogger(), text);
}

}
