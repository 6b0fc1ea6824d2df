#include "Release.h"

namespace fescue {

const std::string& releaseName()
{
    static const std::string name = FESCUE_RELEASE;
    return name;
}

} // namespace fescue
