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

// principalSumLength is the number of hexadecimal digits of a token's sum that
// name its owner in the history. They tell tokens apart without giving them away.
const principalSumLength = 8

// principal is the owner of a token.
type principal struct {
	name string
	role settings.Role
}

type principalKey struct{}

// neededRole returns the role that a procedure needs. Procedures that are not
// listed need the highest role.
func neededRole(procedure string) settings.Role {
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

// authenticate finds the owner of a bearer token. Each known sum is compared
// in constant time, so that the time of the answer tells nothing about them.
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
			owner = principal{name: string(known.Role) + "/" + known.TokenSHA256[:principalSumLength], role: known.Role}
		}
	}
	return owner, owner.role != ""
}

// authorize checks the token before the request body is read.
func (s *Server) authorize(next http.Handler) http.Handler {
	writer := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		owner, known := authenticate(r.Header.Get("Authorization"), s.tokens())
		switch {
		case !known:
			s.refuse(w, r, writer, connect.NewError(connect.CodeUnauthenticated, errors.New("the bearer token is missing or not known")))
		case rank(owner.role) < rank(neededRole(r.URL.Path)):
			s.refuse(w, r, writer, connect.NewError(connect.CodePermissionDenied, errors.New("role "+string(owner.role)+" does not permit this call, it needs "+string(neededRole(r.URL.Path)))))
		default:
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), principalKey{}, owner)))
		}
	})
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, writer *connect.ErrorWriter, cause *connect.Error) {
	s.recorder.Record(event.AdminRefused, event.Fields{Text: r.URL.Path + ": " + cause.Message()})
	if writer.IsSupported(r) {
		// A failure to write means that the client is gone.
		_ = writer.Write(w, r, cause)
		return
	}
	http.Error(w, cause.Message(), http.StatusUnauthorized)
}

func publisherName(ctx context.Context) string {
	owner, _ := ctx.Value(principalKey{}).(principal)
	return owner.name
}
