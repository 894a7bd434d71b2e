#pragma once

#include <ragwortrelay/settings/settings.h>

#include <string>

namespace RagwortRelay::Runtime {

/// Sets up log4cxx to write to the standard error. Call once, before any thread starts.
void configureLogging(const Settings::LogSettings &settings);

/// Writes a line about a change of state. Thread-safe.
void logChange(const std::string &text);

}
