#include <ragwortrelay/detail/cli/parsing.h>

namespace RagwortRelay::Cli::detail {

namespace {

/// Output of TCLAP that ends with ExitCode::WrongUsage on invalid arguments; TCLAP's own ends with 1, which stands for a refused command.
class UsageOutput : public TCLAP::StdOutput
{
public:
    void failure(TCLAP::CmdLineInterface &commandLine, TCLAP::ArgException &error) override
    {
        try {
            StdOutput::failure(commandLine, error);
        } catch (const TCLAP::ExitException &) {
            throw TCLAP::ExitException(static_cast<int>(ExitCode::WrongUsage));
        }
    }
};

}

void parseArguments(TCLAP::CmdLine &commandLine, Arguments &arguments)
{
    static UsageOutput output; // The command line keeps a pointer to it.
    commandLine.setOutput(&output);
    commandLine.parse(arguments);
}

}
