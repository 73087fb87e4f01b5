package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/nutmegpier/nutmegpier/event"
	"github.com/nutmegpier/nutmegpier/gen/nutmegpier/v1/nutmegpierv1connect"
	"github.com/nutmegpier/nutmegpier/settings"
)

// principalHashDigits is the number of hexadecimal digits of a token's SHA-256 digest
// in the name of its owner, which the history of sheets shows. They distinguish the
// tokens and do not reveal them.
const principalHashDigits = 8

// principal is the owner of a token, with a name such as "Publish/0a1b2c3d".
type principal struct {
	name string
	role settings.Role
}

// principalContextKey is the context key of the principal of a request.
type principalContextKey struct{}

// requiredRole returns the role that a procedure requires. Procedures that are not
// listed require the highest role.
func requiredRole(procedure string) settings.Role {
	switch procedure {
	case nutmegpierv1connect.AdminServiceGetSheetProcedure,
		nutmegpierv1connect.AdminServiceListSheetsProcedure,
		nutmegpierv1connect.AdminServiceStatusProcedure,
		nutmegpierv1connect.AdminServiceTimelineProcedure:
		return settings.RoleRead
	case nutmegpierv1connect.AdminServiceDrainProcedure,
		nutmegpierv1connect.AdminServiceRestoreProcedure:
		return settings.RoleOperate
	default:
		return settings.RolePublish
	}
}

// rank returns the position of a role in the order of increasing permissions, or zero
// for an unknown role.
func rank(role settings.Role) int {
	switch role {
	case settings.RolePublish:
		return 3
	case settings.RoleOperate:
		return 2
	case settings.RoleRead:
		return 1
	default:
		return 0
	}
}

// authenticate returns the owner of the bearer token in an Authorization header. It
// compares the digest of the token with all known digests in constant time, so that
// the response time reveals nothing about them.
func authenticate(header string, tokens []settings.Token) (principal, bool) {
	scheme, token, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return principal{}, false
	}
	sum := sha256.Sum256([]byte(token))
	var owner principal
	for _, known := range tokens {
		knownSum, err := hex.DecodeString(known.TokenSHA256)
		if err == nil && subtle.ConstantTimeCompare(sum[:], knownSum) == 1 && rank(known.Role) > rank(owner.role) {
			owner = principal{name: string(known.Role) + "/" + known.TokenSHA256[:principalHashDigits], role: known.Role}
		}
	}
	return owner, owner.role != ""
}

// authorize checks the bearer token and its role before the request body is read.
func (s *Server) authorize(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		owner, known := authenticate(r.Header.Get("Authorization"), s.tokens())
		switch {
		case !known:
			s.reject(w, r, writer, connect.NewError(connect.CodeUnauthenticated, errors.New("the bearer token is missing or unknown")))
		case rank(owner.role) < rank(requiredRole(r.URL.Path)):
			s.reject(w, r, writer, connect.NewError(connect.CodePermissionDenied, errors.New("role "+string(owner.role)+" does not permit this call, which requires "+string(requiredRole(r.URL.Path)))))
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalContextKey{}, owner)))
		}
	})
}

// reject records and returns an authentication or authorization error.
func (s *Server) reject(w http.ResponseWriter, r *http.Request, writer *connect.ErrorWriter, cause *connect.Error) {
	s.recorder.Record(event.AdminRefused, event.Fields{Text: r.URL.Path + ": " + cause.Message()})
	if writer.IsSupported(r) {
		// An error means that the client has closed the connection.
		_ = writer.Write(w, r, cause)
		return
	}
	http.Error(w, cause.Message(), http.StatusUnauthorized)
}

// publisherName returns the name of the principal that makes a request.
func publisherName(ctx context.Context) string {
	owner, _ := ctx.Value(principalContextKey{}).(principal)
	return owner.name
}
