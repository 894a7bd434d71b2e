#include <ragwortrelay/core/error.h>

#include <cstdio>

namespace RagwortRelay {

std::string toString(ErrorId id)
{
    char text[16];
    std::snprintf(text, sizeof text, "RW%04u", static_cast<unsigned>(id));
    return text;
}

std::string toString(const Finding &finding)
{
    std::string text = finding.m_place.m_file;
    if (finding.m_place.m_line > 0) {
        text += ':' + std::to_string(finding.m_place.m_line) + ':' + std::to_string(finding.m_place.m_column);
    }
    return text + ": error " + toString(finding.m_id) + ": " + finding.m_message;
}

}
