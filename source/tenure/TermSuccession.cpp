#include "tenure/TermSuccession.h"

#include "base/NameTable.h"

namespace Wagtail
{

namespace
{

constexpr NameTable<TermSuccession, 3> SuccessionNames {{{{TermSuccession::Vacancy, "vacancy"},
    {TermSuccession::OwnTerm, "own-term"}, {TermSuccession::FormerProcess, "former-process"}}}};

}

std::string_view nameOf(TermSuccession succession)
{
    return SuccessionNames.nameOf(succession);
}

}
