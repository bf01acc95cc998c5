# Writes the header that names the sources of a build. Run at each build; the header changes only with its content.
# usage: cmake -DSOURCE_DIR=... -DOUTPUT=... -P build_identity.cmake
file(GLOB_RECURSE sources RELATIVE ${SOURCE_DIR} ${SOURCE_DIR}/src/*.[ch]pp ${SOURCE_DIR}/platform/*.[ch]pp)
list(SORT sources)
set(digests "")
foreach(source IN LISTS sources)
    file(SHA256 ${SOURCE_DIR}/${source} digest)
    string(APPEND digests "${source} ${digest}\n")
endforeach()
string(SHA256 SOURCE_DIGEST "${digests}")
string(SUBSTRING ${SOURCE_DIGEST} 0 12 SOURCE_DIGEST)

set(COMMIT unknown)
find_program(GIT git)
if(GIT)
    execute_process(COMMAND ${GIT} -C ${SOURCE_DIR} rev-parse --short=12 HEAD
        OUTPUT_VARIABLE found RESULT_VARIABLE status ERROR_QUIET OUTPUT_STRIP_TRAILING_WHITESPACE)
    if(status EQUAL 0)
        set(COMMIT ${found})
    endif()
endif()
configure_file(${CMAKE_CURRENT_LIST_DIR}/build_identity.hpp.in ${OUTPUT} @ONLY)
